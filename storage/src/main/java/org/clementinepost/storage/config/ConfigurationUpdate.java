package org.clementinepost.storage.config;

import io.vavr.collection.Vector;
import org.clementinepost.api.config.Delta;
import org.clementinepost.api.config.Snapshot;

/**
 * Result of loading the newest configuration from the platform.
 *
 * @param headVersion the version named by the head item
 * @param snapshot the newest known snapshot
 * @param deltas the deltas that lead to it from the previous snapshot; empty if a full snapshot was
 *     loaded
 */
public record ConfigurationUpdate(long headVersion, Snapshot snapshot, Vector<Delta> deltas) {}
