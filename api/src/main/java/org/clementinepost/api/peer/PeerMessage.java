package org.clementinepost.api.peer;

/** A message between two nodes. */
public interface PeerMessage {}
