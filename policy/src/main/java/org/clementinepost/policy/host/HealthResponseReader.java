package org.clementinepost.policy.host;

import io.vavr.control.Option;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.http.HttpDialect.HeaderFinder;

/** Reads the answer of a backend server that was asked for its health. */
@FunctionalInterface
public interface HealthResponseReader {
  /**
   * Reads an answer; gives nothing when the backend server takes no work.
   *
   * @param service the service that runs at the address
   * @param address where the backend server was asked
   * @param status the status of its answer
   * @param headers the header fields of its answer
   */
  Option<Announcement> read(
      ServiceId service, NetworkAddress address, int status, HeaderFinder headers);
}
