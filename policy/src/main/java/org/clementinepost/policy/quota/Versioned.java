package org.clementinepost.policy.quota;

/**
 * A record of the table at one version.
 *
 * @param version what a conditional write compares
 */
public record Versioned<T>(T value, long version) {}
