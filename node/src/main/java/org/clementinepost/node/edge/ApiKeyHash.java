package org.clementinepost.node.edge;

import io.vavr.control.Option;
import org.clementinepost.api.config.ApiKey;

/** Turns the key of a request into its hash, the only form in which the fleet knows it. */
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
