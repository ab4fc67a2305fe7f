/** Membership: which nodes of the fleet are live. */
package org.clementinepost.node.membership;
