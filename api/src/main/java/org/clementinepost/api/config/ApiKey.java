package org.clementinepost.api.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.clementinepost.api.CustomerId;

/**
 * A granted key, known by its hash alone.
 *
 * @param name the key's name, by which operators withdraw it
 * @param customer the customer that the key stands for
 * @param sha256Hex the hash of the key, in lower-case hexadecimal digits
 */
public record ApiKey(String name, CustomerId customer, String sha256Hex)
    implements ConfigurationObject {
  /** The hash by which a key is known. */
  public static String hash(String key) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  @Override
  public ObjectKind kind() {
    return ObjectKind.KEY;
  }
}
