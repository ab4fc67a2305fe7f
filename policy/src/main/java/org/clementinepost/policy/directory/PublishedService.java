package org.clementinepost.policy.directory;

import io.vavr.collection.Vector;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.NodeId;

/**
 * A service that this node has backend servers of.
 *
 * @param endpoints the backend servers that take work
 * @param directoryNodes the nodes that were told
 * @param nextRefreshMillis when they are told again though nothing has changed
 */
public record PublishedService(
    Vector<Endpoint> endpoints, Vector<NodeId> directoryNodes, long nextRefreshMillis) {}
