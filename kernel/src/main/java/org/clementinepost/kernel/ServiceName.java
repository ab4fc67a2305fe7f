package org.clementinepost.kernel;

import java.util.Objects;

/**
 * The name of a kernel service, with the type of the messages that it accepts.
 *
 * @param text the name
 * @param messageType the type of the messages
 */
public record ServiceName<M>(String text, Class<M> messageType) {
  public ServiceName {
    Objects.requireNonNull(text, "text");
    Objects.requireNonNull(messageType, "messageType");
  }

  /** Returns a name. */
  public static <M> ServiceName<M> of(String text, Class<M> messageType) {
    return new ServiceName<>(text, messageType);
  }

  @Override
  public String toString() {
    return text;
  }
}
