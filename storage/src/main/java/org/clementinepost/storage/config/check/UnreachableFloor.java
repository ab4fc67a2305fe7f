package org.clementinepost.storage.config.check;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.ObjectKind;
import org.clementinepost.storage.config.source.Finding;
import org.clementinepost.storage.config.source.SourceObject;
import org.clementinepost.storage.config.source.SourceSet;

/**
 * Finds services whose capacity floor, the percentage of capacity that ejection must leave in use,
 * cannot be met.
 *
 * <p>A floor cannot be met if it requires all of several backend servers, so that the first
 * unhealthy one violates it, or if every failure domain is out of service.
 */
final class UnreachableFloor implements ConfigurationCheck {
  private static final int HUNDRED_PERCENT = 100;
  private static final String FLOOR = "floorPercent";
  private static final String SERVERS = "minBackendServers";

  @Override
  public Vector<Finding> check(SourceSet set) {
    boolean everyDomainOut = isEveryDomainOut(set);
    return set.ofKind(ObjectKind.SERVICE).flatMap(service -> finding(set, service, everyDomainOut));
  }

  private static boolean isEveryDomainOut(SourceSet set) {
    Vector<SourceObject> domains = set.ofKind(ObjectKind.FAILURE_DOMAIN);
    return !domains.isEmpty()
        && domains.forAll(
            domain -> domain.field("inService").exists(value -> !value.asBoolean(true)));
  }

  private static Vector<Finding> finding(
      SourceSet set, SourceObject service, boolean everyDomainOut) {
    Map<String, JsonNode> fields = set.effectiveFields(service);
    int percent = fields.get(FLOOR).map(JsonNode::asInt).getOrElse(0);
    int servers = fields.get(SERVERS).map(JsonNode::asInt).getOrElse(0);
    if (percent > 0 && everyDomainOut) {
      return Vector.of(
          service.finding(
              FLOOR,
              ResultCode.CONFIGURATION_FLOOR_UNREACHABLE,
              "every failure domain is out of service",
              "leave a failure domain in service"));
    }
    int maxPercent = (servers - 1) * HUNDRED_PERCENT / Math.max(servers, 1);
    if (servers < 2 || percent <= maxPercent || percent > HUNDRED_PERCENT) {
      return Vector.empty();
    }
    return Vector.of(
        service.finding(
            FLOOR,
            ResultCode.CONFIGURATION_FLOOR_UNREACHABLE,
            "a floor of "
                + percent
                + "% of "
                + servers
                + " backend servers fails with the first unhealthy one",
            "lower " + FLOOR + " to " + maxPercent + " or less, or raise " + SERVERS));
  }
}
