/**
 * Pure decisions: a state and an event give the next state and effects, without sockets, encodings,
 * clocks or random numbers.
 */
package org.clementinepost.policy;
