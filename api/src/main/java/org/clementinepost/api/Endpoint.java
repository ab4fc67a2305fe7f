package org.clementinepost.api;

/**
 * A backend server as ingress nodes see it: behind the one node that sends to it.
 *
 * @param server the backend server
 * @param service the service that it answers for
 * @param host the node that fronts it
 * @param domain the failure domain that both run in
 * @param slots requests that it takes at once, as announced
 */
public record Endpoint(
    BackendServerId server, ServiceId service, NodeId host, FailureDomainId domain, int slots) {}
