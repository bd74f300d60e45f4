"""Files of checked frames: what captures and trails are made of."""
