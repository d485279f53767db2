const named = process.argv.some((arg) => arg.includes('.feature'))

export default {
  paths: named ? [] : ['!(node_modules|dist)/**/*.feature'],
  import: ['dist/**/*_test.js'],
  tags: 'not @full',
  publishQuiet: true
}
