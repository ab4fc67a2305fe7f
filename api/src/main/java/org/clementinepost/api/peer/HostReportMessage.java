package org.clementinepost.api.peer;

import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.HostReport;
import org.clementinepost.api.ServiceId;

/**
 * Informs an ingress node of a host's new health report on one of its backend servers.
 *
 * @param server the backend server
 * @param service the service that it belongs to
 * @param report the health report
 */
public record HostReportMessage(BackendServerId server, ServiceId service, HostReport report)
    implements PeerMessage {}
