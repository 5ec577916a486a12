/**
Fixtures of this package that tests of other packages use.
*/
export * from './background.fixture.js';
export * from './fake-executors.fixture.js';
export * from './group-state.fixture.js';
export * from './virtual-clock.fixture.js';
