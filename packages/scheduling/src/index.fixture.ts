/**
What tests of other packages use of this one's tests.
*/
export * from './fake-executors.fixture.js';
export * from './virtual-clock.fixture.js';
