"""A policy that holds at every umpire or at none: decided without I/O."""

from stepsail.policy.holder import Holder
from stepsail.policy.order import Change, Order
from stepsail.policy.steward import Steward
from stepsail.policy.words import BadWord, Word, decode, encode

__all__ = ["BadWord", "Change", "Holder", "Order", "Steward", "Word", "decode", "encode"]
