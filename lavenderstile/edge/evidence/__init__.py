"""What hosts of different failure domains tell each other of targets."""
