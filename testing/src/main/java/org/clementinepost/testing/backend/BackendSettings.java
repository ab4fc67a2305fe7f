package org.clementinepost.testing.backend;

import io.vavr.control.Option;

/**
 * What a backend server's stand-in is started with.
 *
 * @param id its name
 * @param service the service that it is part of
 * @param failureDomain its failure domain
 * @param slots the requests that it runs at once
 * @param maxConnections the connections that it announces to bear
 * @param announceUrl the root of its node; none when it announces itself to nobody
 * @param announcePeriodMillis the time between announcements
 * @param host the IP number to listen on
 * @param port the port to listen on; zero for a free one
 * @param latencyMillis how long a request takes
 * @param coldStartMillis how long a cold start lasts
 * @param coldSlots the requests that it runs at once during a cold start
 * @param minDrainMillis the least time between announcing to drain and leaving
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

  /** Collects the settings of a stand-in. */
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

    /** Its name. */
    public Builder id(String value) {
      id = value;
      return this;
    }

    /** The service that it is part of. */
    public Builder service(String value) {
      service = value;
      return this;
    }

    /** Its failure domain. */
    public Builder failureDomain(String value) {
      failureDomain = value;
      return this;
    }

    /** The requests that it runs at once. */
    public Builder slots(int value) {
      slots = value;
      return this;
    }

    /** The connections that it announces to bear. */
    public Builder maxConnections(int value) {
      maxConnections = value;
      return this;
    }

    /** The root of its node. */
    public Builder announceUrl(String value) {
      announceUrl = Option.of(value);
      return this;
    }

    /** The time between announcements. */
    public Builder announcePeriodMillis(long value) {
      announcePeriodMillis = value;
      return this;
    }

    /** The IP number to listen on. */
    public Builder host(String value) {
      host = value;
      return this;
    }

    /** The port to listen on. */
    public Builder port(int value) {
      port = value;
      return this;
    }

    /** How long a request takes. */
    public Builder latencyMillis(long value) {
      latencyMillis = value;
      return this;
    }

    /** How long a cold start lasts. */
    public Builder coldStartMillis(long value) {
      coldStartMillis = value;
      return this;
    }

    /** The requests that it runs at once during a cold start. */
    public Builder coldSlots(int value) {
      coldSlots = value;
      return this;
    }

    /** The least time between announcing to drain and leaving. */
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
