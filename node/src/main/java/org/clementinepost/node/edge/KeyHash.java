package org.clementinepost.node.edge;

import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Turns the key of a request into its hash, the only form in which the fleet knows it. */
final class KeyHash {
  private static final String SCHEME = "Bearer ";

  private KeyHash() {}

  static Option<String> ofAuthorization(String header) {
    if (header == null || !header.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
      return Option.none();
    }
    return Option.some(sha256Hex(header.substring(SCHEME.length()).trim()));
  }

  private static String sha256Hex(String key) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
