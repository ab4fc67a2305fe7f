package org.clementinepost.benchmarks.latency;

/**
 * A URL under load.
 *
 * @param name the name of the target in the output
 * @param url the URL that every request is sent to
 */
record LoadTarget(String name, String url) {
  static LoadTarget parse(String text) {
    int equals = text.indexOf('=');
    if (equals <= 0) {
      throw new IllegalArgumentException("target \"" + text + "\" is not of the form name=url");
    }
    return new LoadTarget(text.substring(0, equals), text.substring(equals + 1));
  }
}
