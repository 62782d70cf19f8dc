"""HLS playlists (RFC 8216): what a streamer offers, cut down to what a viewer may have."""

from functools import lru_cache

import m3u8

TYPE = "application/vnd.apple.mpegurl"


class Unusable(ValueError):
    """A playlist that can't be offered on."""


@lru_cache(maxsize=512)
def offered(body, rungs, floor, top):
    """The streamer's multivariant playlist with the rungs from floor to top alone; `{base}` stands where a
    playback's own path goes. Variants are the title's rungs (a tuple of their numbers) by bandwidth."""
    try:
        playlist = m3u8.loads(body.decode("utf-8"))
    except (ValueError, TypeError, KeyError, IndexError, AttributeError) as wrong:
        raise Unusable(f"not a playlist: {wrong}") from None
    variants = sorted(playlist.playlists, key=lambda p: p.stream_info.bandwidth or 0)
    if len(variants) != len(rungs):
        raise Unusable(f"{len(variants)} variants where the title has {len(rungs)} rungs")
    kept = [(rung, variant) for rung, variant in zip(rungs, variants, strict=True) if floor <= rung <= top]
    for rung, variant in kept:
        variant.uri = f"{{base}}/r{rung}/index.m3u8"
    playlist.playlists[:] = [variant for _, variant in kept]
    return playlist.dumps()


def multivariant(rates, base):
    """What a streamer says of a title: one variant a rung; `base`: path under which the rungs lie."""
    lines = ["#EXTM3U", "#EXT-X-VERSION:4", "#EXT-X-INDEPENDENT-SEGMENTS"]
    for rung, rate in enumerate(rates):
        bits = int(rate * 8)
        lines.append(
            f'#EXT-X-STREAM-INF:BANDWIDTH={bits},AVERAGE-BANDWIDTH={bits},CODECS="avc1.4d401f,mp4a.40.2"'
        )
        lines.append(f"{base}/r{rung}/index.m3u8")
    return "\n".join(lines) + "\n"


def media(count, seconds):
    """A recorded title's media playlist: `count` segments of so many seconds."""
    lines = [
        "#EXTM3U",
        "#EXT-X-VERSION:4",
        f"#EXT-X-TARGETDURATION:{max(1, round(seconds))}",
        "#EXT-X-MEDIA-SEQUENCE:0",
        "#EXT-X-PLAYLIST-TYPE:VOD",
    ]
    for n in range(count):
        lines += [f"#EXTINF:{seconds:.3f},", f"{n}.ts"]
    return "\n".join([*lines, "#EXT-X-ENDLIST", ""])
