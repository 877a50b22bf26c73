"""What the scripts of the review share: a small deployment on loopback, replicas and clients."""
