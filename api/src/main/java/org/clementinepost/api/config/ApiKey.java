package org.clementinepost.api.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.clementinepost.api.CustomerId;

/**
 * An API key granted to a customer; only its hash is stored.
 *
 * @param name the name by which operators revoke the key
 * @param customer the customer that the key identifies
 * @param sha256Hex the SHA-256 hash of the key, in lower-case hexadecimal digits
 */
public record ApiKey(String name, CustomerId customer, String sha256Hex)
    implements ConfigurationObject {
  /** Returns the hash under which a key is stored. */
  public static String hash(String key) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform must provide SHA-256", e);
    }
  }

  @Override
  public ObjectKind kind() {
    return ObjectKind.KEY;
  }
}
