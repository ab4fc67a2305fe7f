package org.clementinepost.node;

/** The version of the program, read from the manifest of its JAR file. */
final class Version {
  private static final String DEVELOPMENT = "development";

  private Version() {}

  static String current() {
    String built = Version.class.getPackage().getImplementationVersion();
    return built == null ? DEVELOPMENT : built;
  }
}
