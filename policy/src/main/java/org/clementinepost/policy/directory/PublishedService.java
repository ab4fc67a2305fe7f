package org.clementinepost.policy.directory;

import io.vavr.collection.Vector;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.NodeId;

/**
 * A service of which this host publishes backend servers.
 *
 * @param endpoints the backend servers that accept requests
 * @param directoryNodes the directory nodes that the last publication was sent to
 * @param nextRefreshMillis when it is published again if nothing changes before
 */
public record PublishedService(
    Vector<Endpoint> endpoints, Vector<NodeId> directoryNodes, long nextRefreshMillis) {}
