package org.clementinepost.api.config;

import io.vavr.collection.HashMap;
import io.vavr.collection.Iterator;
import io.vavr.collection.Map;
import io.vavr.control.Option;

/**
 * Finds the route of a request by host name and longest path prefix.
 *
 * <p>A lookup tries the path and then each shorter prefix that ends at a segment boundary, so its
 * cost depends on the length of the path and not on the number of routes. Routes for the request's
 * host take precedence over routes for any host.
 *
 * @param byPrefix the routes by host name, followed by the normalized path prefix
 */
public record RouteTable(Map<String, Route> byPrefix) {
  private static final RouteTable EMPTY = new RouteTable(HashMap.empty());
  private static final String ANY_HOST = "";

  /** Returns a table without routes. */
  public static RouteTable empty() {
    return EMPTY;
  }

  /** Returns this table with a route, which replaces one with the same host and prefix. */
  public RouteTable with(Route route) {
    return new RouteTable(byPrefix.put(key(route), route));
  }

  /** Returns this table without the route that has the given route's host and prefix. */
  public RouteTable without(Route route) {
    return new RouteTable(byPrefix.remove(key(route)));
  }

  /** Returns the route for any host with the longest prefix of the path. */
  public Option<Route> match(String path) {
    return match(ANY_HOST, path);
  }

  /** Returns the route with the longest prefix of the path; the host's own routes come first. */
  public Option<Route> match(String host, String path) {
    Option<Route> hostRoute = host.isEmpty() ? Option.none() : longestMatch(host, path);
    return hostRoute.orElse(() -> longestMatch(ANY_HOST, path));
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
   * Returns whether the route matches the path.
   *
   * <p>A route for one host with prefix "/a/" matches "/a/b" but not "/a"; a route for any host
   * matches both.
   */
  private static boolean covers(Route route, String path) {
    return route.rules().host().isEmpty() || path.startsWith(route.pathPrefix());
  }

  private static String key(Route route) {
    return route.rules().host().getOrElse(ANY_HOST) + normalize(route.pathPrefix());
  }

  /** Returns the routes in no particular order. */
  public Iterator<Route> routes() {
    return byPrefix.valuesIterator();
  }

  /**
   * Returns the prefix with a leading slash and without a trailing one, so that "/a" and "/a/" are
   * the same; "/" becomes empty.
   */
  public static String normalize(String prefix) {
    String path = prefix.startsWith("/") ? prefix : "/" + prefix;
    return path.endsWith("/") ? path.substring(0, path.length() - 1) : path;
  }
}
