package org.clementinepost.testing.backend;

import io.vavr.control.Option;

/**
 * The settings of a backend server stand-in.
 *
 * @param id its name
 * @param service the service that it belongs to
 * @param failureDomain its failure domain
 * @param slots the number of requests that it runs concurrently
 * @param maxConnections the maximum number of connections that it announces
 * @param announceUrl the root URL of its node; without it the stand-in sends no announcements
 * @param announcePeriodMillis the time between announcements
 * @param host the IP address to listen on
 * @param port the port to listen on; 0 selects a free port
 * @param latencyMillis the latency of a request
 * @param coldStartMillis the duration of a cold start
 * @param coldSlots the number of requests that it runs concurrently during a cold start
 * @param minDrainMillis the minimum time between announcing that it is draining and stopping
 */
public record BackendSettings(
    String id,
    String service,
    String failureDomain,
    int slots,
    int maxConnections,
    Option<String> announceUrl,
    long announcePeriodMillis,
    String host,
    int port,
    long latencyMillis,
    long coldStartMillis,
    int coldSlots,
    long minDrainMillis) {

  /** Creates a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds {@link BackendSettings}; unset fields have defaults. */
  public static final class Builder {
    private static final int DEFAULT_SLOTS = 5;
    private static final int DEFAULT_MAX_CONNECTIONS = 350;
    private static final long DEFAULT_ANNOUNCE_PERIOD_MILLIS = 1_000;
    private static final int DEFAULT_COLD_SLOTS = 1;

    private String id = "backend-1";
    private String service = "echo";
    private String failureDomain = "domain-a";
    private int slots = DEFAULT_SLOTS;
    private int maxConnections = DEFAULT_MAX_CONNECTIONS;
    private Option<String> announceUrl = Option.none();
    private long announcePeriodMillis = DEFAULT_ANNOUNCE_PERIOD_MILLIS;
    private String host = "127.0.0.1";
    private int port;
    private long latencyMillis;
    private long coldStartMillis;
    private int coldSlots = DEFAULT_COLD_SLOTS;
    private long minDrainMillis;

    private Builder() {}

    /** Sets the name. */
    public Builder id(String value) {
      id = value;
      return this;
    }

    /** Sets the service that it belongs to. */
    public Builder service(String value) {
      service = value;
      return this;
    }

    /** Sets the failure domain. */
    public Builder failureDomain(String value) {
      failureDomain = value;
      return this;
    }

    /** Sets the number of requests that it runs concurrently. */
    public Builder slots(int value) {
      slots = value;
      return this;
    }

    /** Sets the maximum number of connections that it announces. */
    public Builder maxConnections(int value) {
      maxConnections = value;
      return this;
    }

    /** Sets the root URL of its node; null for no announcements. */
    public Builder announceUrl(String value) {
      announceUrl = Option.of(value);
      return this;
    }

    /** Sets the time between announcements. */
    public Builder announcePeriodMillis(long value) {
      announcePeriodMillis = value;
      return this;
    }

    /** Sets the IP address to listen on. */
    public Builder host(String value) {
      host = value;
      return this;
    }

    /** Sets the port to listen on; 0 selects a free port. */
    public Builder port(int value) {
      port = value;
      return this;
    }

    /** Sets the latency of a request. */
    public Builder latencyMillis(long value) {
      latencyMillis = value;
      return this;
    }

    /** Sets the duration of a cold start. */
    public Builder coldStartMillis(long value) {
      coldStartMillis = value;
      return this;
    }

    /** Sets the number of requests that it runs concurrently during a cold start. */
    public Builder coldSlots(int value) {
      coldSlots = value;
      return this;
    }

    /** Sets the minimum time between announcing that it is draining and stopping. */
    public Builder minDrainMillis(long value) {
      minDrainMillis = value;
      return this;
    }

    /** Builds the settings. */
    public BackendSettings build() {
      return new BackendSettings(
          id,
          service,
          failureDomain,
          slots,
          maxConnections,
          announceUrl,
          announcePeriodMillis,
          host,
          port,
          latencyMillis,
          coldStartMillis,
          coldSlots,
          minDrainMillis);
    }
  }
}
