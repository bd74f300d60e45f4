"""Defines the frames with checksums that captures, audit trails and the consensus log are made of."""
