package org.clementinepost.api;

/**
 * A backend server that ingress nodes can route to, together with its host.
 *
 * <p>Ingress nodes never connect to a backend server: they send requests to its host, the one node
 * that forwards them.
 *
 * @param server the backend server
 * @param service the service that it belongs to
 * @param host the node that forwards requests to it
 * @param domain the failure domain of both
 * @param slots the number of concurrent requests that it accepts, as announced
 */
public record Endpoint(
    BackendServerId server, ServiceId service, NodeId host, FailureDomainId domain, int slots) {}
