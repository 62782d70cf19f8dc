"""CMCD (CTA-5004) and CMSD (CTA-5006) hints, and what they mean to the decisions. No I/O."""
