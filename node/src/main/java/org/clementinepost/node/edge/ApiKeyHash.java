package org.clementinepost.node.edge;

import io.vavr.control.Option;
import org.clementinepost.api.config.ApiKey;

/** Hashes the API key of a request; outside this package only the hash is used. */
final class ApiKeyHash {
  private static final String SCHEME = "Bearer ";

  private ApiKeyHash() {}

  static Option<String> fromAuthorizationHeader(String header) {
    if (header == null || !header.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
      return Option.none();
    }
    return Option.some(ApiKey.hash(header.substring(SCHEME.length()).trim()));
  }
}
