package org.clementinepost.api;

import java.util.Objects;

/** An IP address or host name, and a port. */
public record NetworkAddress(String host, int port) {
  private static final int MAX_PORT = 65_535;

  public NetworkAddress {
    Objects.requireNonNull(host, "host");
    if (port < 0 || port > MAX_PORT) {
      throw new IllegalArgumentException("port out of range: " + port);
    }
  }

  /** Parses {@code host:port}. */
  public static NetworkAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("expected host:port, got: " + text);
    }
    return new NetworkAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
