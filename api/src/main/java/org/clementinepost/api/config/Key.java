package org.clementinepost.api.config;

import org.clementinepost.api.CustomerId;

/**
 * A granted key, known by its hash alone.
 *
 * @param name the key's name, by which operators withdraw it
 * @param customer the customer that the key stands for
 * @param sha256Hex the hash of the key, in lower-case hexadecimal digits
 */
public record Key(String name, CustomerId customer, String sha256Hex)
    implements ConfigurationObject {
  @Override
  public ObjectKind kind() {
    return ObjectKind.KEY;
  }
}
