"""The platform's protocol: one more entrance and exit of the same umpire. No decisions are made here."""
