package org.clementinepost.policy.health;

import io.vavr.collection.Map;

/**
 * A check of all tasks.
 *
 * @param tasks what was seen of each task, by name
 */
public record StallEvent(Map<String, TaskObservation> tasks) {}
