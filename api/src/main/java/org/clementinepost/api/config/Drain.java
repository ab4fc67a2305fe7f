package org.clementinepost.api.config;

import org.clementinepost.api.BackendServerId;

/** An instruction by an operator to send no new requests to a backend server. */
public record Drain(BackendServerId server) implements ConfigurationObject {
  @Override
  public ObjectKind kind() {
    return ObjectKind.DRAIN;
  }

  @Override
  public String name() {
    return server.value();
  }
}
