package org.clementinepost.benchmarks.latency;

/**
 * Where load is sent.
 *
 * @param name its name in the report
 * @param url the URL of each request
 */
record LoadTarget(String name, String url) {
  static LoadTarget parse(String text) {
    int equals = text.indexOf('=');
    if (equals <= 0) {
      throw new IllegalArgumentException("not name=url: " + text);
    }
    return new LoadTarget(text.substring(0, equals), text.substring(equals + 1));
  }
}
