package org.clementinepost.policy.host;

import io.vavr.control.Option;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.http.HttpDialect.HeaderFinder;

/** Decodes the response of a backend server to a health check. */
@FunctionalInterface
public interface HealthResponseReader {
  /**
   * Decodes a response; returns none if the backend server does not accept requests.
   *
   * @param service the service that runs at the address
   * @param address the address to which the health check was sent
   * @param status the HTTP status of the response
   * @param headers finds the header fields of the response
   */
  Option<Announcement> read(
      ServiceId service, NetworkAddress address, int status, HeaderFinder headers);
}
