/**
 * The SWIM-like gossip membership of the fleet: overlay, suspicion and refutation, gossip, joining
 * and leaving.
 */
package org.clementinepost.policy.membership;
