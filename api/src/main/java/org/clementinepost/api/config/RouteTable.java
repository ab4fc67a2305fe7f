package org.clementinepost.api.config;

import io.vavr.collection.HashMap;
import io.vavr.collection.Iterator;
import io.vavr.collection.Map;
import io.vavr.control.Option;

/**
 * The routes by host name and path prefix; the longest prefix wins.
 *
 * <p>A look-up tries the path and then each shorter prefix that ends on a segment border, so its
 * cost grows with the path's length and not with the number of routes. Routes of the request's host
 * go before those of every host.
 */
public record RouteTable(Map<String, Route> byPrefix) {
  private static final RouteTable EMPTY = new RouteTable(HashMap.empty());
  private static final String ANY_HOST = "";

  /** The table without routes. */
  public static RouteTable empty() {
    return EMPTY;
  }

  /** This table with one more route, in place of one with the same host and prefix. */
  public RouteTable with(Route route) {
    return new RouteTable(byPrefix.put(key(route), route));
  }

  /** This table without a route's prefix. */
  public RouteTable without(Route route) {
    return new RouteTable(byPrefix.remove(key(route)));
  }

  /** Finds the route with the longest prefix of a path, among those of every host. */
  public Option<Route> match(String path) {
    return match(ANY_HOST, path);
  }

  /** Finds the route with the longest prefix of a path at a host. */
  public Option<Route> match(String host, String path) {
    Option<Route> ofHost = host.isEmpty() ? Option.none() : longestMatch(host, path);
    return ofHost.orElse(() -> longestMatch(ANY_HOST, path));
  }

  private Option<Route> longestMatch(String host, String path) {
    String prefix = normalize(path);
    while (true) {
      Option<Route> found = byPrefix.get(host + prefix).filter(route -> covers(route, path));
      if (found.isDefined() || prefix.isEmpty()) {
        return found;
      }
      prefix = prefix.substring(0, prefix.lastIndexOf('/'));
    }
  }

  /**
   * A route of one host covers what lies below its prefix, but not the prefix without its slash.
   */
  private static boolean covers(Route route, String path) {
    return route.rules().host().isEmpty() || path.startsWith(route.pathPrefix());
  }

  private static String key(Route route) {
    return route.rules().host().getOrElse(ANY_HOST) + normalize(route.pathPrefix());
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
