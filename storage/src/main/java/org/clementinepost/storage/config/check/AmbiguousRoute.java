package org.clementinepost.storage.config.check;

import io.vavr.collection.Vector;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.ObjectKind;
import org.clementinepost.api.config.RouteTable;
import org.clementinepost.storage.config.source.Finding;
import org.clementinepost.storage.config.source.SourceObject;
import org.clementinepost.storage.config.source.SourceSet;

/**
 * Finds routes with the same path prefix: a request is routed by the longest matching prefix, so
 * the choice between them would be ambiguous.
 */
final class AmbiguousRoute implements ConfigurationCheck {
  private static final String PREFIX = "pathPrefix";

  @Override
  public Vector<Finding> check(SourceSet set) {
    return set.ofKind(ObjectKind.ROUTE)
        .filter(route -> route.text(PREFIX).isDefined())
        .groupBy(route -> RouteTable.normalize(route.text(PREFIX).get()))
        .values()
        .toVector()
        .flatMap(same -> same.tail().map(route -> finding(same.head(), route)));
  }

  private static Finding finding(SourceObject first, SourceObject route) {
    return route.finding(
        PREFIX,
        ResultCode.CONFIGURATION_AMBIGUOUS_ROUTE,
        "the route in " + first.file() + first.pointer() + " has the same prefix",
        "give one of them another prefix, or remove it");
  }
}
