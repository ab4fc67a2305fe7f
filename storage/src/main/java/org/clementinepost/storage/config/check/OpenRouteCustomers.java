package org.clementinepost.storage.config.check;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.collection.Vector;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.ObjectKind;
import org.clementinepost.storage.config.source.Finding;
import org.clementinepost.storage.config.source.SourceSet;

/** Finds routes that are open to all and also restricted to some customers. */
final class OpenRouteCustomers implements ConfigurationCheck {
  @Override
  public Vector<Finding> check(SourceSet set) {
    return set.ofKind(ObjectKind.ROUTE)
        .filter(route -> route.field("openToAll").exists(JsonNode::asBoolean))
        .filter(route -> route.field("customers").exists(names -> !names.isEmpty()))
        .map(
            route ->
                route.finding(
                    "customers",
                    ResultCode.CONFIGURATION_BAD_VALUE,
                    "a route that is open to all cannot name customers",
                    "remove customers, or set openToAll to false"));
  }
}
