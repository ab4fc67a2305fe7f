package org.clementinepost.node;

/** The version that the binary was built as. */
final class Version {
  private static final String DEVELOPMENT = "development";

  private Version() {}

  static String current() {
    String built = Version.class.getPackage().getImplementationVersion();
    return built == null ? DEVELOPMENT : built;
  }
}
