/** What the node in front of a backend server lets through to it. */
package org.clementinepost.policy.host;
