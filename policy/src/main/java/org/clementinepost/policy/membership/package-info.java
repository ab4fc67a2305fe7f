/** Which nodes make up the fleet: overlay, suspicion, spread of news, joining and leaving. */
package org.clementinepost.policy.membership;
