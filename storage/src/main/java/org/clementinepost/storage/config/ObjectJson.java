package org.clementinepost.storage.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.config.ApiKey;
import org.clementinepost.api.config.ConfigurationObject;
import org.clementinepost.api.config.Customer;
import org.clementinepost.api.config.Drain;
import org.clementinepost.api.config.FailureDomain;
import org.clementinepost.api.config.ObjectKind;
import org.clementinepost.api.config.Route;
import org.clementinepost.api.config.Service;

/**
 * Writes and reads one configuration object as JSON, in the same format for operators' files and
 * for the platform.
 *
 * <p>Reading expects objects that have passed the checks; a missing field gets its default.
 */
public final class ObjectJson {
  private static final String NAME = "name";
  private static final String CUSTOMERS = "customers";
  private static final int DEFAULT_WEIGHT = 1;

  private ObjectJson() {}

  /** Writes an object without its kind. */
  public static ObjectNode write(ConfigurationObject object) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    if (object instanceof Customer customer) {
      return write(node, customer);
    }
    if (object instanceof ApiKey key) {
      return node.put(NAME, key.name())
          .put("customer", key.customer().value())
          .put("sha256Hex", key.sha256Hex());
    }
    if (object instanceof Service service) {
      return write(node, service);
    }
    if (object instanceof FailureDomain domain) {
      return node.put(NAME, domain.id().value())
          .put("region", domain.region())
          .put("inService", domain.inService());
    }
    if (object instanceof Route route) {
      return write(node, route);
    }
    return node.put("server", ((Drain) object).server().value());
  }

  private static ObjectNode write(ObjectNode node, Customer customer) {
    return node.put(NAME, customer.id().value())
        .put("ratePerSecond", customer.ratePerSecond())
        .put("burstRequests", customer.burstRequests())
        .put("weight", customer.weight());
  }

  private static ObjectNode write(ObjectNode node, Service service) {
    return node.put(NAME, service.id().value())
        .put("floorPercent", service.floorPercent())
        .put("minBackendServers", service.minBackendServers())
        .put("timeoutMillis", service.timeoutMillis())
        .put("coldStartMillis", service.coldStartMillis())
        .put("coldStartSlots", service.coldStartSlots());
  }

  private static ObjectNode write(ObjectNode node, Route route) {
    node.put(NAME, route.name())
        .put("pathPrefix", route.pathPrefix())
        .put("service", route.service().value())
        .put("openToAll", route.openToAll());
    ArrayNode customers = node.putArray(CUSTOMERS);
    route.customers().toVector().sorted().forEach(customer -> customers.add(customer.value()));
    return node;
  }

  /** Reads an object of a kind. */
  public static ConfigurationObject read(ObjectKind kind, JsonNode node) {
    return switch (kind) {
      case CUSTOMER -> readCustomer(node);
      case KEY ->
          new ApiKey(
              text(node, NAME), new CustomerId(text(node, "customer")), text(node, "sha256Hex"));
      case SERVICE -> readService(node);
      case FAILURE_DOMAIN ->
          new FailureDomain(
              new FailureDomainId(text(node, NAME)),
              text(node, "region"),
              node.path("inService").asBoolean(true));
      case ROUTE -> readRoute(node);
      case DRAIN -> new Drain(new BackendServerId(text(node, "server")));
    };
  }

  private static Customer readCustomer(JsonNode node) {
    return new Customer(
        new CustomerId(text(node, NAME)),
        node.path("ratePerSecond").asDouble(),
        node.path("burstRequests").asInt(),
        node.path("weight").asInt(DEFAULT_WEIGHT));
  }

  private static Service readService(JsonNode node) {
    return new Service(
        new ServiceId(text(node, NAME)),
        node.path("floorPercent").asInt(),
        node.path("minBackendServers").asInt(),
        node.path("timeoutMillis").asLong(),
        node.path("coldStartMillis").asLong(),
        node.path("coldStartSlots").asInt());
  }

  private static Route readRoute(JsonNode node) {
    Set<CustomerId> customers =
        HashSet.ofAll(
            Vector.ofAll(node.path(CUSTOMERS)).map(name -> new CustomerId(name.asText())));
    return new Route(
        text(node, NAME),
        text(node, "pathPrefix"),
        new ServiceId(text(node, "service")),
        node.path("openToAll").asBoolean(),
        customers);
  }

  private static String text(JsonNode node, String field) {
    return node.path(field).asText();
  }
}
