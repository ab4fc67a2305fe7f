package org.clementinepost.storage.config.check;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.ObjectKind;
import org.clementinepost.storage.config.source.Finding;
import org.clementinepost.storage.config.source.ObjectSchema;
import org.clementinepost.storage.config.source.SourceObject;
import org.clementinepost.storage.config.source.SourceSet;

/**
 * Finds services whose defaults form a cycle.
 *
 * <p>No other reference can form a cycle: keys refer only to customers, and routes only to services
 * and customers.
 */
final class CyclicReference implements ConfigurationCheck {
  @Override
  public Vector<Finding> check(SourceSet set) {
    return set.ofKind(ObjectKind.SERVICE).flatMap(service -> findCycle(set, service));
  }

  private static Vector<Finding> findCycle(SourceSet set, SourceObject service) {
    Vector<SourceObject> path = Vector.of(service);
    Option<SourceObject> next = set.defaultsSource(service);
    while (next.isDefined() && !path.contains(next.get())) {
      path = path.append(next.get());
      next = set.defaultsSource(next.get());
    }
    if (next.isEmpty() || !next.get().equals(service)) {
      return Vector.empty();
    }
    return Vector.of(
        service.finding(
            ObjectSchema.DEFAULTS_FROM,
            ResultCode.CONFIGURATION_CYCLE,
            "the defaults form a cycle: "
                + path.append(service).map(element -> element.name().get()).mkString(" -> "),
            "remove " + ObjectSchema.DEFAULTS_FROM + " from one of them"));
  }
}
