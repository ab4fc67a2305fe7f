package org.clementinepost.api.config;

import io.vavr.collection.HashMap;
import io.vavr.collection.Iterator;
import io.vavr.collection.Map;
import io.vavr.control.Option;

/**
 * The routes by path prefix; the longest prefix wins.
 *
 * <p>A look-up tries the path and then each shorter prefix that ends on a segment border, so its
 * cost grows with the path's length and not with the number of routes.
 */
public record RouteTable(Map<String, Route> byPrefix) {
  private static final RouteTable EMPTY = new RouteTable(HashMap.empty());

  /** The table without routes. */
  public static RouteTable empty() {
    return EMPTY;
  }

  /** This table with one more route, in place of one with the same prefix. */
  public RouteTable with(Route route) {
    return new RouteTable(byPrefix.put(normalize(route.pathPrefix()), route));
  }

  /** This table without a route's prefix. */
  public RouteTable without(Route route) {
    return new RouteTable(byPrefix.remove(normalize(route.pathPrefix())));
  }

  /** Finds the route with the longest prefix of a path. */
  public Option<Route> match(String path) {
    String prefix = normalize(path);
    while (true) {
      Option<Route> found = byPrefix.get(prefix);
      if (found.isDefined() || prefix.isEmpty()) {
        return found;
      }
      prefix = prefix.substring(0, prefix.lastIndexOf('/'));
    }
  }

  /** The routes, in no order. */
  public Iterator<Route> routes() {
    return byPrefix.valuesIterator();
  }

  /** A prefix without its closing slash, so that "/a" and "/a/" are the same. */
  public static String normalize(String prefix) {
    String path = prefix.startsWith("/") ? prefix : "/" + prefix;
    return path.endsWith("/") ? path.substring(0, path.length() - 1) : path;
  }
}
