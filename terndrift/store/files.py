"""The system calls that the store makes, one method each, so that tests can fail every one of them."""

import fcntl
import os


class Files:
    """A folder on a real disk. Handles are file descriptors."""

    def __init__(self, folder):
        self.folder = folder

    def prepare(self):
        os.makedirs(self.folder, exist_ok=True)

    def path(self, name):
        return os.path.join(self.folder, name)

    def names(self):
        return sorted(os.listdir(self.folder))

    def read(self, name):
        with open(self.path(name), "rb") as file:
            return file.read()

    def size(self, name):
        return os.stat(self.path(name)).st_size

    def create(self, name):
        return os.open(self.path(name), os.O_CREAT | os.O_EXCL | os.O_WRONLY | os.O_APPEND, 0o640)

    def append_to(self, name):
        return os.open(self.path(name), os.O_WRONLY | os.O_APPEND)

    def write(self, handle, data):
        """How many bytes went in: the system may take fewer."""
        return os.write(handle, data)

    def sync(self, handle):
        os.fsync(handle)

    def cut(self, handle, size):
        os.ftruncate(handle, size)

    def close(self, handle):
        os.close(handle)

    def rename(self, old, new):
        os.rename(self.path(old), self.path(new))

    def remove(self, name):
        os.unlink(self.path(name))

    def sync_folder(self):
        handle = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def lock(self, name):
        """A handle that keeps others out until it is closed, or None: another process has it."""
        handle = os.open(self.path(name), os.O_CREAT | os.O_RDWR, 0o640)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(handle)
            return None
        return handle
