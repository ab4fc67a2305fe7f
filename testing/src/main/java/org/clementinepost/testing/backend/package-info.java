/** A stand-in backend server that announces itself, drains, sheds and fails gray. */
package org.clementinepost.testing.backend;
