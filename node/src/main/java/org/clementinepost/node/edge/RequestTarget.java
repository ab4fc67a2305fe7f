package org.clementinepost.node.edge;

import java.util.Locale;

/**
 * The addressee of a request.
 *
 * @param host the host name in lower case, without a port; empty if there is none
 * @param uri the path and query
 */
record RequestTarget(String host, String uri) {
  private static final String SCHEME = "http://";

  /**
   * Reads a request target in origin form or absolute form. The host of the absolute form goes
   * before the {@code Host} field.
   */
  static RequestTarget of(String target, String hostField) {
    if (!target.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
      return new RequestTarget(withoutPort(hostField), target);
    }
    String rest = target.substring(SCHEME.length());
    int authorityEnd = authorityEnd(rest);
    String pathAndQuery = rest.substring(authorityEnd);
    String uri = pathAndQuery.startsWith("/") ? pathAndQuery : "/" + pathAndQuery;
    return new RequestTarget(withoutPort(rest.substring(0, authorityEnd)), uri);
  }

  private static int authorityEnd(String text) {
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c == '/' || c == '?') {
        return i;
      }
    }
    return text.length();
  }

  private static String withoutPort(String authority) {
    int colon = authority.indexOf(':');
    return (colon < 0 ? authority : authority.substring(0, colon)).toLowerCase(Locale.ROOT);
  }
}
