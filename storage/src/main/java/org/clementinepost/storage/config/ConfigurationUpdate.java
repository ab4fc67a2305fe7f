package org.clementinepost.storage.config;

import io.vavr.collection.Vector;
import org.clementinepost.api.config.Delta;
import org.clementinepost.api.config.Snapshot;

/**
 * What a look at the platform has given.
 *
 * @param headVersion the version that the head item named
 * @param snapshot the newest snapshot that is known now
 * @param deltas the deltas that led to it from the snapshot before; none when it was loaded whole
 */
public record ConfigurationUpdate(long headVersion, Snapshot snapshot, Vector<Delta> deltas) {}
