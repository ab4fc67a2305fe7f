/** Which nodes make up the fleet. */
package org.clementinepost.node.membership;
