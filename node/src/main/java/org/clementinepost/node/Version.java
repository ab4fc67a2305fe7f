package org.clementinepost.node;

/** The version that the binary was built as. */
final class Version {
  private static final String UNPACKED = "development";

  private Version() {}

  static String text() {
    String built = Version.class.getPackage().getImplementationVersion();
    return built == null ? UNPACKED : built;
  }
}
