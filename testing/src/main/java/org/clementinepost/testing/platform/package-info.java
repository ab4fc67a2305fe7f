/** A stand-in for the platform (table service and object store) that injects faults. */
package org.clementinepost.testing.platform;
